/** Thrown for an invalid request. `status` is the HTTP status to respond with. */
export class InvalidRequestError extends Error {
    readonly status: number;

    constructor(status: number, message: string) {
        super(message);
        this.status = status;
    }
}
