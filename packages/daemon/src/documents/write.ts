/** Writes the generated pages into the repository; run from its root by `npm run docs`. */
import { writeFileSync } from "node:fs";
import { renderPages } from "./pages.js";

renderPages().forEach(({ path, text }) => writeFileSync(path, text));
