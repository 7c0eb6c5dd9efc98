/** Validates that a frame belongs to the attempt that was sent and that its result is intact. */
import { PAYLOAD_BOUNDS, parseJson } from '../common/json/BoundedJson.js';
import { sha256 } from '../common/Digest.js';
import type { Frame } from '../common/protocol/Attempt.js';
import type { AttemptContent, ResultFrame } from './Types.js';

/**
 * @param frame - received frame
 * @param content - the attempt as sent
 * @returns description of the mismatch, or null if the frame is valid
 */
export function findFrameProblem(frame: Frame, content: AttemptContent): string | null {
  if (frame.attemptId !== content.attemptId) return 'frame of another attempt';
  return frame.type === 'result' ? findResultProblem(frame, content) : null;
}

function findResultProblem(frame: ResultFrame, content: AttemptContent): string | null {
  if (frame.account !== content.account) return 'result of another client account';
  if (frame.stage !== content.stage) return 'result of another stage';
  if (frame.requestId !== content.requestId) return 'result of another request';
  if (frame.length !== Buffer.byteLength(frame.output)) return 'result length differs';
  if (frame.digest !== sha256(frame.output)) return 'result digest differs';
  return isJson(frame.output) ? null : 'result is not JSON';
}

function isJson(text: string): boolean {
  try {
    parseJson(text, PAYLOAD_BOUNDS);
    return true;
  } catch {
    return false;
  }
}
