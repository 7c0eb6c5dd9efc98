/** A call whose body or path a stand-in service does not accept; answered with status 400. */
export class BadRequest extends Error {}
