export { listenOn } from "./listen-on.js";
export type { RpcCallOptions } from "./rpc-call-options.js";
export type { RpcClientOptions } from "./rpc-client-options.js";
export { RpcClient } from "./rpc-client.js";
export { RPC } from "./rpc-constants.js";
export type { RpcRefusal } from "./rpc-refusal.js";
export type { RpcServerOptions } from "./rpc-server-options.js";
export { RpcServer } from "./rpc-server.js";
export { signMessage } from "./sign-message.js";
