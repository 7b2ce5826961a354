/** Process exit codes. The `--help` output explains them. */
export enum ExitCode {
    Success = 0,
    Findings = 1,
    UsageOrInvalidFile = 2,
    Conflict = 3,
    OutcomeUnknown = 4,
    Unreachable = 5,
    NotInForceOrDegraded = 6,
}
