/** Thrown when the body of a call is invalid. The call is answered with status 400. */
export class BadRequestError extends Error {}
