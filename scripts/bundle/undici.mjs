/** The part of undici that the daemon on the platform uses. The package's own entry loads much more, which delays a start. */
import api from "../../node_modules/undici/lib/api/index.js";
import Dispatcher from "../../node_modules/undici/lib/dispatcher/dispatcher.js";

// As in the package's entry: clients and pools get their methods, such as `request`, from here.
Object.assign(Dispatcher.prototype, api);

export { default as Client } from "../../node_modules/undici/lib/dispatcher/client.js";
export { default as Pool } from "../../node_modules/undici/lib/dispatcher/pool.js";
