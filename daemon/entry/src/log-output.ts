/** Destination of the log. Writing must not block the process. */
export abstract class LogOutput {
    /** Writes the bytes, and calls back once they have been written or lost. */
    abstract write(bytes: Buffer, done: (isWritten: boolean) => void): void;
}
