const PREFIX = "ERR_MARIGOLDSTALL_";

/** Reason codes of refused claims and of responses to callers. See `docs/decisions/at-most-once.md`. */
export const ledgerReason = {
    keyInvalid: `${PREFIX}KEY_INVALID`,
    keyMismatch: `${PREFIX}KEY_MISMATCH`,
    keyInProgress: `${PREFIX}KEY_IN_PROGRESS`,
    keyOutcomeUnknown: `${PREFIX}KEY_OUTCOME_UNKNOWN`,
    keyOwnerGone: `${PREFIX}KEY_OWNER_GONE`,
    keyTooOld: `${PREFIX}KEY_TOO_OLD`,
    keyTimeAhead: `${PREFIX}KEY_TIME_AHEAD`,
    responseNotKept: `${PREFIX}RESPONSE_NOT_KEPT`,
    shareUnavailable: `${PREFIX}SHARE_UNAVAILABLE`,
    ownerUnreachable: `${PREFIX}OWNER_UNREACHABLE`,
    ledgerFull: `${PREFIX}LEDGER_FULL`,
    deadlinePassed: `${PREFIX}DEADLINE_PASSED`,
    /** Only between daemons: another daemon owns the key. */
    wrongOwner: `${PREFIX}WRONG_OWNER`,
    /** Only between daemons: a late copy of a claim that its runner has already released. */
    requestEnded: `${PREFIX}REQUEST_ENDED`,
} as const;
