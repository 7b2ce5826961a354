const STATED = [
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

/** Headers that the daemon states itself, whatever the other side of a connection says. */
export const OWN_HEADERS = {
    // Requests go out with a length and a host of the daemon's own, also where a caller names them as hop-by-hop.
    request: new Set<string>([...STATED, "content-length", "host"]),
    response: new Set<string>(STATED),
} as const;
