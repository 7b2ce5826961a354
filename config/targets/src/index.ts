export { canonicalizeTargets } from "./canonicalize-targets.js";
export { diffTargets } from "./diff-targets.js";
export { digestTargets } from "./digest-targets.js";
export type { MatchClassRequest } from "./match-class-request.js";
export { matchClass } from "./match-class.js";
export { parseTargets } from "./parse-targets.js";
export type { ReadTargetsOptions } from "./read-targets-options.js";
export { readTargets } from "./read-targets.js";
export type { TargetsChange } from "./targets-change.js";
