import type { FleetFault } from "./fleet-fault.js";
import type { FleetScenario } from "./fleet-scenario.js";
import type { Scheduler } from "./scheduler.js";
import type { SeededRandom } from "./seeded-random.js";

interface AppendPlan {
    /** Times at which the record, or a copy of it, lands in the log. */
    readonly landAtMs: readonly number[];
    readonly answerAtMs: number;
    readonly result: "appended" | "failed" | "unknown";
}

/** Decides what becomes of messages and appends under the faults of a scenario. */
export class ModelNetwork {
    constructor(
        private readonly scenario: FleetScenario,
        private readonly random: SeededRandom,
        private readonly scheduler: Scheduler,
    ) {}

    isActive(kind: FleetFault["kind"], index?: number, other?: number): boolean {
        const { nowMs } = this.scheduler;
        return this.scenario.faults.some(fault => {
            const isPair = other === undefined
                ? index === undefined || fault.target === index
                : (fault.target === index && fault.other === other)
                    || (fault.target === other && fault.other === index);
            return fault.kind === kind && isPair && nowMs >= fault.fromMs && nowMs < fault.fromMs + fault.forMs;
        });
    }

    isLogReachable(index: number): boolean {
        return !this.isActive("log-down") && !this.isActive("log-partition", index);
    }

    delayMs(): number {
        const isSlow = this.scenario.messageLoss > 0 && this.random.chance(0.01);
        return isSlow ? this.random.next() * 8_000 : 0.5 + this.random.next() * 4;
    }

    /** Number of copies of a message that arrive. */
    copies(): number {
        const { messageLoss } = this.scenario;
        const loss = messageLoss + (this.isActive("network-lossy") ? 0.3 : 0);
        return this.random.chance(loss) ? 0 : this.random.chance(messageLoss) ? 2 : 1;
    }

    planAppend(index: number, value: unknown): AppendPlan {
        const { random } = this;
        const { nowMs } = this.scheduler;
        if (!this.isLogReachable(index)) {
            const result = random.chance(0.5) ? "failed" : "unknown";
            return { landAtMs: [], answerAtMs: nowMs + this.delayMs(), result };
        }
        const isSnapshotLost = this.isActive("snapshots-lost") && JSON.stringify(value).includes("snapshot");
        const isLossy = this.isActive("log-lossy");
        const isLost = isSnapshotLost || (isLossy && random.chance(0.2));
        const copies = isLost ? 0 : random.chance(this.scenario.messageLoss) ? 2 : 1;
        const delayMs = isLossy && random.chance(0.3) ? random.next() * this.scenario.appendDelayMs : this.delayMs();
        const isAnswerLost = isLost || (isLossy && random.chance(0.5));
        return {
            landAtMs: Array.from({ length: copies }, (...[, copy]) => nowMs + delayMs + copy * random.next() * 10_000),
            answerAtMs: nowMs + (isAnswerLost ? 2_000 : delayMs),
            result: isAnswerLost ? "unknown" : "appended",
        };
    }
}
