/** Bounds of what a backend server may send. */
import { z } from 'zod';

const MIB = 1024 * 1024;

/** Limits of one response, and of all responses that a process buffers at a time. */
export const ResponseLimits = z
  .object({
    /** Largest head, and largest trailers, in bytes. */
    headBytes: z
      .number()
      .int()
      .positive()
      .default(16 * 1024),
    /** Most informational responses (1xx) before the final one. */
    informationalResponses: z.number().int().min(0).default(16),
    /** Largest body that is buffered as a whole, in bytes. */
    bodyBytes: z
      .number()
      .int()
      .positive()
      .default(8 * MIB),
    /** Largest event of a stream, in bytes. */
    eventBytes: z.number().int().positive().default(MIB),
    /** Most bytes of comments and empty events of a stream in a second. */
    idleBytesPerS: z
      .number()
      .int()
      .positive()
      .default(64 * 1024),
    /** Bytes of a stream that are read in a second; a faster stream is read at this rate. */
    streamBytesPerS: z
      .number()
      .int()
      .positive()
      .default(2 * MIB),
    /** Largest body of a stream's response that is not a success, in bytes. */
    errorBodyBytes: z.number().int().positive().default(MIB),
    /**
     * Most bytes of a response outside its body, such as chunk framing and blank lines, or twice the
     * bytes of the body if that is more.
     */
    framingBytes: z.number().int().positive().default(MIB),
    /** Most bytes that the process buffers for all responses in progress together. */
    totalBytes: z
      .number()
      .int()
      .positive()
      .default(48 * MIB),
  })
  .prefault({});
export type ResponseLimits = z.infer<typeof ResponseLimits>;

/** Limits of the size of one buffer. */
export type BufferLimit = 'bodyBytes' | 'eventBytes' | 'errorBodyBytes';
