export { formatError } from "./format-error.js";
export type { MarigoldstallErrorOptions } from "./marigoldstall-error-options.js";
export { MarigoldstallError } from "./marigoldstall-error.js";
