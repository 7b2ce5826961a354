/**
 * Progress of a request. `receiving`: its headers have been read. `held`: it was read completely, and a request before it
 * may yet close the connection. `forwarded`: it was passed on. `answered`: its response waits for its turn. `writing`: its
 * response is being written.
 */
export type RequestPhase = "receiving" | "held" | "forwarded" | "answered" | "writing";
