/** A caller's connection: its requests in progress in the order of their arrival, and whether it closes after them. */
export class CallerConnection {
    /** Keys of the requests whose headers have been read and whose response has not been written completely. */
    private readonly unfinishedKeys = new Set<string>();
    private newestKey: string | undefined;
    private isClosingAfterResponse = false;

    /** Whether no further request of the connection is forwarded. */
    get isClosing(): boolean {
        return this.isClosingAfterResponse;
    }

    get unfinishedRequestKeys(): ReadonlySet<string> {
        return this.unfinishedKeys;
    }

    addRequest(requestKey: string): void {
        this.unfinishedKeys.add(requestKey);
        this.newestKey = requestKey;
    }

    /** Returns false if the request was finished before. */
    finishRequest(requestKey: string): boolean {
        return this.unfinishedKeys.delete(requestKey);
    }

    isNewest(requestKey: string): boolean {
        return this.newestKey === requestKey;
    }

    closeAfterResponse(): void {
        this.isClosingAfterResponse = true;
    }
}
