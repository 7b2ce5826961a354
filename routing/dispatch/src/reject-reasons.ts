/** Reasons for responses that the daemon itself generates. */
export const REJECT_REASONS = {
    crashesServers: "servers-ended-under-it",
    noServer: "no-usable-server",
    tooLate: "deadline-unreachable",
    queueTooLong: "queue-longer-than-deadline",
    shed: "shed-by-servers",
    lost: "response-lost",
    unreachable: "servers-unreachable",
    cutsOthers: "response-would-cut-later-requests",
    falsePromise: "server-status-is-no-promise",
    deadline: "deadline-passed",
    suspended: "vm-suspended",
    processStopping: "process-stopping",
    processEnding: "process-ending",
} as const;
