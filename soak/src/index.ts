export { checkInvariants } from "./check-invariants.js";
export { REGRESSION_SEEDS } from "./regression-seeds.js";
export { runSoak } from "./run-soak.js";
