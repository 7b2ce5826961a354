export type { CentralQueueRequest } from "./central-queue-request.js";
export { simulateCentralQueue } from "./simulate-central-queue.js";
