/** Entry point of `damaskvaled`. */
import { execute } from "@oclif/core";

void execute({ dir: __dirname });
