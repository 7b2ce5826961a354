import type { Urgency } from "@marigoldstall/core.types";
import type { QueueEntry } from "./queue-entry.js";

/** Queue of a service: per urgency the waiting requests, earliest deadline first. */
export type RequestQueue = Readonly<Record<Urgency, readonly QueueEntry[]>>;
