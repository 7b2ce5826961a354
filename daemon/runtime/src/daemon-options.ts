import type { DecisionLog } from "@marigoldstall/core.logger";
import type { Clock } from "@marigoldstall/daemon.connections";
import type { SelectionPolicyName } from "@marigoldstall/routing.policy";

/** Options of {@link Daemon}. */
export interface DaemonOptions {
    /** Overrides the selection policy to compare policies in measurements. */
    readonly policy?: SelectionPolicyName | undefined;
    readonly clock?: Clock;
    readonly decisions?: DecisionLog;
}
