import type { FleetFault } from "./fleet-fault.js";
import type { FleetScenario } from "./fleet-scenario.js";
import type { Scheduler } from "./scheduler.js";
import type { SeededRandom } from "./seeded-random.js";

interface AppendPlan {
    /** Times at which the record and its duplicates are appended to the log. */
    readonly appendTimesMs: readonly number[];
    readonly resultAtMs: number;
    readonly result: "appended" | "failed" | "unknown";
}

/** Draws the delay, loss and duplication of messages and appends under the faults of a scenario. */
export class ModelNetwork {
    constructor(
        private readonly scenario: FleetScenario,
        private readonly random: SeededRandom,
        private readonly scheduler: Scheduler,
    ) {}

    isActive(kind: FleetFault["kind"], index?: number, peerIndex?: number): boolean {
        const { nowMs } = this.scheduler;
        return this.scenario.faults.some(fault => {
            const isMatch = peerIndex === undefined
                ? index === undefined || fault.daemonIndex === index
                : (fault.daemonIndex === index && fault.peerIndex === peerIndex)
                    || (fault.daemonIndex === peerIndex && fault.peerIndex === index);
            return fault.kind === kind && isMatch && nowMs >= fault.fromMs && nowMs < fault.fromMs + fault.durationMs;
        });
    }

    isLogReachable(index: number): boolean {
        return !this.isActive("log-down") && !this.isActive("log-partition", index);
    }

    drawDelayMs(): number {
        const isSlow = this.scenario.messageLoss > 0 && this.random.chance(0.01);
        return isSlow ? this.random.next() * 8_000 : 0.5 + this.random.next() * 4;
    }

    /** Draws how many copies of a message arrive. */
    drawCopyCount(): number {
        const { messageLoss } = this.scenario;
        const loss = messageLoss + (this.isActive("network-lossy") ? 0.3 : 0);
        return this.random.chance(loss) ? 0 : this.random.chance(messageLoss) ? 2 : 1;
    }

    planAppend(index: number, value: unknown): AppendPlan {
        const { random } = this;
        const { nowMs } = this.scheduler;
        if (!this.isLogReachable(index)) {
            const result = random.chance(0.5) ? "failed" : "unknown";
            return { appendTimesMs: [], resultAtMs: nowMs + this.drawDelayMs(), result };
        }
        const isSnapshotLost = this.isActive("snapshots-lost") && JSON.stringify(value).includes("snapshot");
        const isLossy = this.isActive("log-lossy");
        const isLost = isSnapshotLost || (isLossy && random.chance(0.2));
        const copies = isLost ? 0 : random.chance(this.scenario.messageLoss) ? 2 : 1;
        const delayMs = isLossy && random.chance(0.3)
            ? random.next() * this.scenario.maxAppendDelayMs
            : this.drawDelayMs();
        const isResultLost = isLost || (isLossy && random.chance(0.5));
        return {
            appendTimesMs: Array.from(
                { length: copies },
                (...[, copy]) => nowMs + delayMs + copy * random.next() * 10_000,
            ),
            resultAtMs: nowMs + (isResultLost ? 2_000 : delayMs),
            result: isResultLost ? "unknown" : "appended",
        };
    }
}
