import type { DecisionLog } from "@marigoldstall/core.logger";
import type { SelectionPolicyName } from "@marigoldstall/routing.policy";
import type { Clock } from "./clock.js";

/** Options of {@link Daemon}. */
export interface DaemonOptions {
    /** Selection policy, to compare policies in measurements. */
    readonly policy?: SelectionPolicyName | undefined;
    readonly clock?: Clock;
    readonly decisions?: DecisionLog;
}
