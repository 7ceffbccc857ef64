package io.cherryspool.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds what a connection has received until the loop has read the connection to its end, and drops
 * it if the peer has closed by then.
 *
 * <p>A node that is behind finds requests in its sockets whose senders have given up. To decode and
 * answer them would take the time in which those that still wait could be answered, so that all of
 * them would be answered too late. A peer that closes only its sending side is not answered either.
 */
final class PeerCheck extends ChannelInboundHandlerAdapter {
  private List<Object> received = new ArrayList<>(1);
  private boolean scheduled;

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    received.add(message);
  }

  /** The end of the connection, if it has been read, closes the channel right after this call. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!scheduled && !received.isEmpty()) {
      scheduled = true;
      ctx.executor().execute(() -> pass(ctx));
    }
  }

  private void pass(ChannelHandlerContext ctx) {
    scheduled = false;
    List<Object> messages = received;
    received = new ArrayList<>(1);
    if (!ctx.channel().isActive()) {
      messages.forEach(ReferenceCountUtil::release);
      return;
    }
    messages.forEach(ctx::fireChannelRead);
    ctx.fireChannelReadComplete();
  }
}
