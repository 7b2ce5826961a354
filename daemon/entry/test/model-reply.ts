import type { EntryEvent } from "@marigoldstall/daemon.entry";

/** What becomes of an effect: an event that the VM gets after a while. */
export interface ModelReply {
    readonly delayMs: number;
    readonly event: EntryEvent;
}
