export { BackendConnection } from "./backend-connection.js";
export type { BackendPoolOptions } from "./backend-pool-options.js";
export { BackendPool } from "./backend-pool.js";
export type { Clock } from "./clock.js";
export { createClock } from "./create-clock.js";
export { endToEndHeaders } from "./end-to-end-headers.js";
export type { ExchangeResult } from "./exchange-result.js";
export { limitInterimResponses } from "./limit-interim-responses.js";
export { singleHeader } from "./single-header.js";
