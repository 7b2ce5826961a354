/** A page that the store returned when a caller listed the newest records of a topic. */
export interface NewestPage {
    readonly topic: string;
    /** Key after which the page begins. Empty for the first page. */
    readonly after: string;
    readonly hasMore: boolean;
}
