export type { StoreFault } from "./store-fault.js";
export { StoreStandIn } from "./store-stand-in.js";
