import type { EventContext } from "./event-context.js";
import type { RootEventBody } from "./root-event-body.js";

/** Events of the daemon. */
export type RootEvent = EventContext & RootEventBody;
