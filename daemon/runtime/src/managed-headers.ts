const SHARED_HEADERS = [
    "request-id",
    "request-timeout-ms",
    "marigoldstall-attempt",
    "marigoldstall-class",
    "marigoldstall-outcome",
    "marigoldstall-reason",
    "load-report",
    "instance-id",
    "draining",
    "not-run",
] as const;

/** Headers that only the daemon sets. Values from callers and backend servers are not forwarded. */
export const MANAGED_HEADERS = {
    // The daemon sets the length and the host of a request, also if the caller lists them as hop-by-hop headers.
    request: new Set<string>([...SHARED_HEADERS, "content-length", "host"]),
    response: new Set<string>(SHARED_HEADERS),
} as const;
