export { InvalidRequestError } from "./invalid-request-error.js";
export { readJson } from "./read-json.js";
export { sendJson } from "./send-json.js";
