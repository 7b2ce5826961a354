import type { ShareTerm } from "@marigoldstall/fleet.ownership";

interface OwnerRange {
    readonly owner: string;
    readonly term: number;
    readonly fromMs: number;
    readonly boundMs: number;
}

/** Records the actions of all daemons and reports each violation of an invariant. */
export class InvariantChecker {
    readonly violations: string[] = [];
    readonly grantedKeys = new Set<string>();
    private readonly ranges = new Map<number, Map<string, OwnerRange>>();
    private readonly holders = new Map<string, string>();
    private readonly endedHolders = new Set<string>();
    private readonly executions = new Map<string, string>();
    private readonly sentHolders = new Set<string>();
    private readonly reportedNotRun = new Set<string>();

    recordBounds(owner: string, terms: readonly ShareTerm[], ownBoundsMs: ReadonlyMap<number, number>): void {
        for (const [index, term] of terms.entries()) {
            if (`${term.owner.vmId}/${term.owner.incarnation}` !== owner) {
                continue;
            }
            const next = terms[index + 1];
            const endMs = next?.share === term.share ? next.fromMs : ownBoundsMs.get(term.share);
            if (endMs !== undefined) {
                this.recordRange(term.share, { owner, term: term.term, fromMs: term.fromMs, boundMs: endMs });
            }
        }
    }

    recordGrant(key: string, holder: string): void {
        const former = this.holders.get(key);
        if (former !== undefined && former !== holder && !this.endedHolders.has(former)) {
            this.violations.push(`key ${key} granted to ${holder} while ${former} may still send`);
        }
        this.holders.set(key, holder);
        this.grantedKeys.add(key);
    }

    /** The runner will never send the request, so its claim may be released. */
    recordEnded(holder: string): void {
        this.endedHolders.add(holder);
    }

    recordSend(key: string, holder: string): void {
        if (this.endedHolders.has(holder)) {
            this.violations.push(`${holder} sent after it ended the request`);
        }
        this.sentHolders.add(holder);
        if (this.reportedNotRun.has(holder)) {
            this.violations.push(`${holder} sent after its caller was answered not-run`);
        }
        if (this.holders.get(key) !== holder) {
            this.violations.push(`${holder} sent key ${key} without holding its grant`);
        }
    }

    recordExecution(key: string, holder: string): void {
        const former = this.executions.get(key);
        if (former !== undefined) {
            this.violations.push(`key ${key} executed by ${former} and ${holder}`);
        }
        this.executions.set(key, holder);
    }

    recordAnswer(key: string, holder: string, outcome: string): void {
        if (outcome === "not-run") {
            this.reportedNotRun.add(holder);
            if (this.sentHolders.has(holder)) {
                this.violations.push(`${holder} answered not-run after it was sent`);
            }
        }
        if (outcome === "completed" && !this.executions.has(key)) {
            this.violations.push(`${holder} answered completed, but key ${key} was not executed`);
        }
    }

    private recordRange(share: number, range: OwnerRange): void {
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
