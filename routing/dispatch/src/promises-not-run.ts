const STATUSES: readonly number[] = [408, 421, 429, 503];

/** Whether a response with this status tells the caller that its request has not run and never will. */
export const promisesNotRun = (statusCode: number): boolean => STATUSES.includes(statusCode);
