/**
 * Response stored to answer repeated requests. `bodyBase64` is undefined if the body was larger than 64 KiB, or if it
 * exceeded the ledger's limit for stored responses.
 */
export interface StoredResponse {
    readonly statusCode: number;
    readonly headers: readonly (readonly [string, string])[];
    readonly bodyBase64: string | undefined;
}
