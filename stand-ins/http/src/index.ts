export { BadBodyError } from "./bad-body-error.js";
export { readJson } from "./read-json.js";
export { sendJson } from "./send-json.js";
