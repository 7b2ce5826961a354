/**
 * Progress of a request. `receiving`: its headers have been read. `forwarded`: it was read completely and passed on.
 * `answered`: its response waits for its turn. `writing`: its response is being written.
 */
export type RequestPhase = "receiving" | "forwarded" | "answered" | "writing";
