/** Entry point of `damaskvale`. */
import { execute } from "@oclif/core";

void execute({ dir: __dirname });
