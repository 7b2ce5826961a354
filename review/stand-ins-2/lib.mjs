// Stand-ins for the cases 6 to 10: the platform's store, backend servers, callers, and the start of the entry program
// with the `run` line of the deploy file. Plain Node.js modules without dependencies.
export { Backend } from "./backend.mjs";
export { CallerConnection } from "./caller-connection.mjs";
export { freePorts, HAS_TROUBLE, newHost, newId, nowMs, openRecord, REPOSITORY, sleep } from "./common.mjs";
export { putConfiguration, route } from "./configuration.mjs";
export { Fleet } from "./fleet.mjs";
export { Store } from "./store.mjs";
