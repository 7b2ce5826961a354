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

/** Model of a log stream, with an independent implementation of which versions are valid. */
export class LogModel {
    readonly acceptedRecords = new Map<number, { readonly publishId: string; readonly offset: number; }>();
    newestVersion = 0;
    firstOffset = 0;
    /** Rises with each restore. */
    era = 0;
    private readonly records: ModelRecord[] = [];

    static createTargets(probesPerSecond: number): Targets {
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
        const eraRise = Math.floor(value.version / 1e9) - Math.floor(this.newestVersion / 1e9);
        const isValid = value.restartAtOffset === undefined
            ? value.parentVersion === this.newestVersion && eraRise >= 0
                && value.version - eraRise * 1e9 === this.newestVersion + 1
            : value.restartAtOffset === offset;
        if (value.publishId !== undefined && isValid) {
            this.newestVersion = value.version;
            this.acceptedRecords.set(value.version, { publishId: value.publishId, offset });
        }
        return offset;
    }

    read(from: number, opts: { readonly limit: number; readonly overlap: number; }): StreamRead {
        const start = Math.max(from - opts.overlap, this.firstOffset);
        return {
            from,
            era: this.era,
            firstOffset: this.firstOffset,
            nextOffset: this.records.length,
            records: this.records.slice(start, start + opts.limit + opts.overlap),
        };
    }

    truncate(count: number): void {
        this.firstOffset = Math.min(this.firstOffset + count, this.records.length);
    }

    /** Restores the log from a copy that holds the first records only. */
    restore(recordCount: number): void {
        this.era += 1;
        const kept = this.records.splice(0).slice(0, recordCount);
        this.newestVersion = 0;
        this.acceptedRecords.clear();
        for (const { value } of kept) {
            this.append(value);
        }
    }

    /** Returns how many times a publish id took effect. */
    countAccepted(publishId: string): number {
        return [...this.acceptedRecords.values()].filter(entry => entry.publishId === publishId).length;
    }
}
