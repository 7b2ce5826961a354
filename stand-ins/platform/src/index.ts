export { buildVmSettings } from "./build-vm-settings.js";
export type { Outcome } from "./outcome.js";
export { PlatformCaller } from "./platform-caller.js";
export { PlatformServer } from "./platform-server.js";
export { READY_PATH } from "./ready-path.js";
export { SETTINGS_VARIABLE } from "./settings-variable.js";
export type { StoreFault } from "./store-fault.js";
export { StoreStandIn } from "./store-stand-in.js";
