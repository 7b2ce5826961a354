import type { Urgency } from "@marigoldstall/core.types";
import type { QueueEntry } from "./queue-entry.js";

/** Queue of a service: the waiting requests of each urgency, earliest deadline first. */
export type RequestQueue = Readonly<Record<Urgency, readonly QueueEntry[]>>;
