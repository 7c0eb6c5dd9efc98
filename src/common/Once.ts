/**
 * @param action - action to run at most once
 * @returns function that runs it with the first call only
 */
export function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}
