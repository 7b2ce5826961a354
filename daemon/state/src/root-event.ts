import type { EventContext } from "./event-context.js";
import type { RootEventBody } from "./root-event-body.js";

/** An event of the daemon with its context. */
export type RootEvent = EventContext & RootEventBody;
