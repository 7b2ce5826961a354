export { checkInvariants } from "./check-invariants.js";
export { findUnexpectedEnds } from "./find-unexpected-ends.js";
export { REGRESSION_SEEDS } from "./regression-seeds.js";
export { runProcessEnds } from "./run-process-ends.js";
export { runSoak } from "./run-soak.js";
