/** A response of a backend server that arrived whole. */
export interface ServerResponseWhole {
    readonly statusCode: number;
    readonly rawHeaders: readonly string[];
    readonly connection: string | undefined;
    readonly body: Buffer;
}
