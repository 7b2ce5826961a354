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
        const isValid = value.restartAtOffset === undefined
            ? value.parentVersion === this.newestVersion && value.version === this.newestVersion + 1
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
            firstOffset: this.firstOffset,
            nextOffset: this.records.length,
            records: this.records.slice(start, start + opts.limit + opts.overlap),
        };
    }

    truncate(count: number): void {
        this.firstOffset = Math.min(this.firstOffset + count, this.records.length);
    }

    /** Returns how many times a publish id took effect. */
    countAccepted(publishId: string): number {
        return [...this.acceptedRecords.values()].filter(entry => entry.publishId === publishId).length;
    }
}
