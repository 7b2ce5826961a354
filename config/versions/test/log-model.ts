import { readTargets } from "@marigoldstall/config.targets";
import type { StreamRead } from "@marigoldstall/config.versions";
import type { Targets } from "@marigoldstall/core.types";

interface ModelRecord {
    readonly offset: number;
    readonly value: unknown;
}

const BASE = readTargets(
    `site: luznik
measuring: { probesPerSecond: 1 }
classes:
  - { name: a, service: s, urgency: urgent, repeatable: true, lateness: { percentile: 99, withinMs: 250 },
      turnedAwayAtMostPercent: 1, match: [] }
`,
    { file: "model" },
)._unsafeUnwrap();

/** One stream of the log, with an independent statement of which versions are valid. */
export class LogModel {
    readonly truth = new Map<number, { readonly publishId: string; readonly offset: number; }>();
    newest = 0;
    firstOffset = 0;
    private readonly records: ModelRecord[] = [];

    static targets(probesPerSecond: number): Targets {
        return { ...BASE, measuring: { probesPerSecond } };
    }

    get nextOffset(): number {
        return this.records.length;
    }

    append(json: unknown): number {
        const value = JSON.parse(JSON.stringify(json)) as {
            publishId?: string;
            version: number;
            parentVersion: number;
            restartAtOffset?: number;
        };
        const offset = this.records.length;
        this.records.push({ offset, value });
        const isValid = value.restartAtOffset === undefined
            ? value.parentVersion === this.newest && value.version === this.newest + 1
            : value.restartAtOffset === offset;
        if (value.publishId !== undefined && isValid) {
            this.newest = value.version;
            this.truth.set(value.version, { publishId: value.publishId, offset });
        }
        return offset;
    }

    read(from: number, opts: { readonly limit: number; readonly back: number; }): StreamRead {
        const start = Math.max(from - opts.back, this.firstOffset);
        return {
            from,
            firstOffset: this.firstOffset,
            nextOffset: this.records.length,
            records: this.records.slice(start, start + opts.limit + opts.back),
        };
    }

    truncate(count: number): void {
        this.firstOffset = Math.min(this.firstOffset + count, this.records.length);
    }

    /** Number of times that a publish id took effect. */
    countEffects(publishId: string): number {
        return [...this.truth.values()].filter(entry => entry.publishId === publishId).length;
    }
}
