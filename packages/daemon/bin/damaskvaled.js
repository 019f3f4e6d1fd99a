#!/usr/bin/env node
"use strict";

// The binary is committed, so that npm can link it before the first build.
require("../dist/main.js");
