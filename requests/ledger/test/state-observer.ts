/** Counts what a reducer reads of a state, and what it puts into the next one instead of sharing it by reference. */
export class StateObserver {
    fieldReads = 0;
    private readonly seen = new WeakSet<object>();

    /** Counts the slots of all objects not observed before, and from then on the reads of their fields. */
    observe(root: object): number {
        let slots = 0;
        const open: unknown[] = [root];
        while (open.length > 0) {
            const subject = open.pop();
            if (typeof subject !== "object" || !subject || this.seen.has(subject)) {
                continue;
            }
            this.seen.add(subject);
            const references = this.referencesOf(subject);
            slots += references.length;
            open.push(...references.filter(reference => typeof reference === "object"));
        }
        return slots;
    }

    private referencesOf(subject: object): readonly unknown[] {
        if (Array.isArray(subject)) {
            return subject;
        }
        if (subject instanceof Map) {
            return [...subject].flat();
        }
        const entries = Object.entries(subject);
        for (const [key, initial] of entries) {
            this.countReads(subject, { key, initial });
        }
        return entries.map(([, value]) => value);
    }

    private countReads(subject: object, opts: { readonly key: string; readonly initial: unknown; }): void {
        let value = opts.initial;
        Object.defineProperty(subject, opts.key, {
            configurable: true,
            enumerable: true,
            get: () => {
                this.fieldReads += 1;
                return value;
            },
            set: (next: unknown) => {
                value = next;
            },
        });
    }
}
