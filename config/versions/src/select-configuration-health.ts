import type { ConfigurationHealth } from "./configuration-health.js";
import type { ConfigurationState } from "./configuration-state.js";
import { selectConfiguration } from "./select-configuration.js";

// Twice the maximum wait of a long poll of the log (30 s).
const STALE_AFTER_MS = 60_000;

const listReasons = (state: ConfigurationState, atMs: number): readonly string[] => {
    const { fold, confirmedAtMs, logUnavailableSinceMs, caughtUpAtMs } = state;
    const reasons: string[] = [];
    if (selectConfiguration(state) === undefined) {
        reasons.push("no configuration is known");
    }
    else if (confirmedAtMs === undefined) {
        reasons.push("the configuration has not been confirmed by the log or a peer since the start or a pause");
    }
    if (logUnavailableSinceMs !== undefined) {
        reasons.push(`the log has been unavailable for ${Math.round(atMs - logUnavailableSinceMs)} ms`);
    }
    else if (caughtUpAtMs !== undefined && atMs - caughtUpAtMs > STALE_AFTER_MS) {
        reasons.push(`the end of the configuration stream was last reached ${Math.round(atMs - caughtUpAtMs)} ms ago`);
    }
    if (!fold.isComplete) {
        reasons.push("the log has removed records that were not read, and holds no usable snapshot");
    }
    return reasons;
};

/** Returns the age and completeness of the configuration, for `/readyz` and `status`. */
export const selectConfigurationHealth = (state: ConfigurationState, atMs: number): ConfigurationHealth => {
    const { fold, confirmedAtMs, logUnavailableSinceMs, caughtUpAtMs } = state;
    const configuration = selectConfiguration(state);
    return {
        version: configuration?.version,
        isConfirmed: confirmedAtMs !== undefined,
        isReady: configuration !== undefined && confirmedAtMs !== undefined,
        isLogAvailable: logUnavailableSinceMs === undefined,
        logUnavailableForMs: logUnavailableSinceMs === undefined ? undefined : atMs - logUnavailableSinceMs,
        sinceCaughtUpMs: caughtUpAtMs === undefined ? undefined : atMs - caughtUpAtMs,
        isComplete: fold.isComplete,
        reasons: listReasons(state, atMs),
    };
};
