/** Counts the fields of a state that a reducer reads, and those of the next state that it does not share by reference. */
export class StateObserver {
    fieldReads = 0;
    private readonly observed = new WeakSet<object>();

    /** Returns the number of fields of all objects that were not observed before, and counts reads of these from now on. */
    observe(root: object): number {
        let fieldCount = 0;
        const pending: unknown[] = [root];
        while (pending.length > 0) {
            const subject = pending.pop();
            if (typeof subject !== "object" || !subject || this.observed.has(subject)) {
                continue;
            }
            this.observed.add(subject);
            const references = this.instrumentFields(subject);
            fieldCount += references.length;
            pending.push(...references.filter(reference => typeof reference === "object"));
        }
        return fieldCount;
    }

    private instrumentFields(subject: object): readonly unknown[] {
        if (Array.isArray(subject)) {
            return subject;
        }
        if (subject instanceof Map) {
            return [...subject].flat();
        }
        const entries = Object.entries(subject);
        for (const [key, initial] of entries) {
            this.countFieldReads(subject, { key, initial });
        }
        return entries.map(([, value]) => value);
    }

    private countFieldReads(subject: object, opts: { readonly key: string; readonly initial: unknown; }): void {
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
