/** Body above the accepted size, or not JSON. */
export class BadBodyError extends Error {
    readonly status: number;

    constructor(status: number, message: string) {
        super(message);
        this.status = status;
    }
}
