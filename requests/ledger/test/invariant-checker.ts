import type { ShareTerm } from "@marigoldstall/fleet.ownership";

interface OwnerRange {
    readonly owner: string;
    readonly term: number;
    readonly fromMs: number;
    readonly boundMs: number;
}

/** Collects what happened over all daemons, and reports each breach of an invariant. */
export class InvariantChecker {
    readonly violations: string[] = [];
    readonly grantedKeys = new Set<string>();
    private readonly ranges = new Map<number, Map<string, OwnerRange>>();
    private readonly holders = new Map<string, string>();
    private readonly ended = new Set<string>();
    private readonly executions = new Map<string, string>();
    private readonly sentRequests = new Set<string>();
    private readonly toldNotRun = new Set<string>();

    noteBounds(owner: string, terms: readonly ShareTerm[], ownBoundsMs: ReadonlyMap<number, number>): void {
        for (const [index, term] of terms.entries()) {
            if (`${term.owner.vmId}/${term.owner.incarnation}` !== owner) {
                continue;
            }
            const next = terms[index + 1];
            const endMs = next?.share === term.share ? next.fromMs : ownBoundsMs.get(term.share);
            if (endMs !== undefined) {
                this.noteRange(term.share, { owner, term: term.term, fromMs: term.fromMs, boundMs: endMs });
            }
        }
    }

    noteGrant(key: string, holder: string): void {
        const former = this.holders.get(key);
        if (former !== undefined && former !== holder && !this.ended.has(former)) {
            this.violations.push(`key ${key} granted to ${holder} while ${former} may send`);
        }
        this.holders.set(key, holder);
        this.grantedKeys.add(key);
    }

    /** The runner has decided never to send the request, so its claim may be released. */
    noteEnded(holder: string): void {
        this.ended.add(holder);
    }

    noteSend(key: string, holder: string): void {
        if (this.ended.has(holder)) {
            this.violations.push(`${holder} sent after it had been ended`);
        }
        this.sentRequests.add(holder);
        if (this.toldNotRun.has(holder)) {
            this.violations.push(`${holder} sent after its caller was told not-run`);
        }
        if (this.holders.get(key) !== holder) {
            this.violations.push(`${holder} sent ${key} without its grant`);
        }
    }

    noteExecution(key: string, holder: string): void {
        const former = this.executions.get(key);
        if (former !== undefined) {
            this.violations.push(`key ${key} executed by ${former} and ${holder}`);
        }
        this.executions.set(key, holder);
    }

    noteAnswer(key: string, holder: string, outcome: string): void {
        if (outcome === "not-run") {
            this.toldNotRun.add(holder);
            if (this.sentRequests.has(holder)) {
                this.violations.push(`${holder} told not-run after it was sent`);
            }
        }
        if (outcome === "completed" && !this.executions.has(key)) {
            this.violations.push(`${holder} told completed, but ${key} was not executed`);
        }
    }

    private noteRange(share: number, range: OwnerRange): void {
        const shareRanges = this.ranges.get(share) ?? new Map<string, OwnerRange>();
        this.ranges.set(share, shareRanges);
        const id = `${range.owner}#${range.term}`;
        const known = shareRanges.get(id);
        if (known !== undefined && known.boundMs >= range.boundMs) {
            return;
        }
        shareRanges.set(id, range);
        for (const other of shareRanges.values()) {
            if (other.owner !== range.owner && other.fromMs < range.boundMs && range.fromMs < other.boundMs) {
                this.violations.push(
                    `share ${share}: ${id} [${range.fromMs}, ${range.boundMs}) overlaps ${other.owner}#${other.term}`
                        + ` [${other.fromMs}, ${other.boundMs})`,
                );
            }
        }
    }
}
