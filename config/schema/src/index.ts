export { checkValue } from "./check-value.js";
export type { CheckYamlOptions } from "./check-yaml-options.js";
export { checkYaml } from "./check-yaml.js";
export { field } from "./field.js";
export type { FileProblem } from "./file-problem.js";
export type { InvalidFileErrorOptions } from "./invalid-file-error-options.js";
export { InvalidFileError } from "./invalid-file-error.js";
export { isAddress } from "./is-address.js";
export type { ValueProblem } from "./value-problem.js";
