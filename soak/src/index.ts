export { checkPromises } from "./check-promises.js";
export { REGRESSION_SEEDS } from "./regression-seeds.js";
export { runSoak } from "./run-soak.js";
